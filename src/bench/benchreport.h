#pragma once

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace clementinesill::bench {

// Collects the figures of one benchmark program and writes them as JSON.
class BenchReport {
public:
    // Records a parameter that the figures depend on.
    template <typename Value>
    void parameter(const std::string& name, const Value& value) { m_parameters[name] = value; }

    // Adds a figure with one value per repetition.
    void figure(const std::string& name, const std::string& unit, const std::vector<double>& values)
    {
        m_figures.push_back({ { "name", name }, { "unit", unit }, { "values", values } });
    }

    // Writes to the file, or to standard output if its name is empty.
    void write(const std::string& file) const
    {
        const nlohmann::json report { { "parameters", m_parameters }, { "figures", m_figures } };
        if (file.empty())
            std::cout << report.dump(2) << '\n';
        else
            std::ofstream(file) << report.dump(2) << '\n';
    }

private:
    nlohmann::json m_parameters = nlohmann::json::object();
    nlohmann::json m_figures = nlohmann::json::array();
};

} // namespace clementinesill::bench
