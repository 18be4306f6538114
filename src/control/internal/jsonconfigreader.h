#pragma once

#include "control/iconfigreader.h"

namespace clementinesill::control {

// Reads JSON with comments.
class JsonConfigReader final : public IConfigReader {
public:
    schema::OperatorFile read(std::span<const schema::ConfigFile> files) const override;
};

} // namespace clementinesill::control
