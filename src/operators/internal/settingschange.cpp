#include "operators/settingschange.h"

#include "settings.pb.h"

#include <algorithm>
#include <array>
#include <google/protobuf/text_format.h>
#include <google/protobuf/util/message_differencer.h>
#include <string_view>

namespace clementinesill::operators {

namespace {

using google::protobuf::Message;
using google::protobuf::util::MessageDifferencer;

// Keep in step with copyReloadableSettings().
constexpr std::array<std::string_view, 2> reloadableSettings { "log.level", "discovery.seeds" };

// Collects the differences that a MessageDifferencer reports.
class ChangeCollector final : public MessageDifferencer::Reporter {
    using Fields = std::vector<MessageDifferencer::SpecificField>;

public:
    std::vector<SettingChange> changes;

    void ReportAdded(const Message&, const Message& file, const Fields& path) override { add(path, {}, value(file, path.back(), path.back().new_index)); }
    void ReportDeleted(const Message& running, const Message&, const Fields& path) override { add(path, value(running, path.back(), path.back().index), {}); }
    void ReportModified(const Message& running, const Message& file, const Fields& path) override
    {
        // The settings within a group are reported as well.
        if (path.back().field->message_type())
            return;
        add(path, value(running, path.back(), path.back().index), value(file, path.back(), path.back().new_index));
    }

private:
    static std::string value(const Message& parent, const MessageDifferencer::SpecificField& field, int index)
    {
        google::protobuf::TextFormat::Printer printer;
        printer.SetSingleLineMode(true);
        std::string text;
        printer.PrintFieldValueToString(parent, field.field, index, &text);
        return text;
    }

    void add(const Fields& path, std::string oldValue, std::string newValue)
    {
        std::string setting;
        for (const auto& field : path)
            setting += (setting.empty() ? "" : ".") + field.field->json_name();
        const bool reloadable = std::find(reloadableSettings.begin(), reloadableSettings.end(), setting) != reloadableSettings.end();
        changes.push_back({ .setting = std::move(setting), .oldValue = std::move(oldValue), .newValue = std::move(newValue), .reloadable = reloadable });
    }
};

} // namespace

std::vector<SettingChange> changedSettings(const schema::DaemonSettings& running, const schema::DaemonSettings& file)
{
    ChangeCollector collector;
    MessageDifferencer differencer;
    differencer.ReportDifferencesTo(&collector);
    differencer.Compare(running, file);
    return std::move(collector.changes);
}

void copyReloadableSettings(const schema::DaemonSettings& file, schema::DaemonSettings& running)
{
    running.mutable_log()->set_level(file.log().level());
    if (running.has_discovery() && file.has_discovery())
        *running.mutable_discovery()->mutable_seeds() = file.discovery().seeds();
}

} // namespace clementinesill::operators
