#pragma once

#include <string>
#include <string_view>

#include "core/cell.h"
#include "json/json_fields.h"

namespace dottereltrack {

// The cell table and the configuration as JSON objects. Ids are texts of 16
// hexadecimal digits. Fields that this version does not know are ignored.
std::string EncodeCellTable(const CellTable& table);
std::string EncodeCellConfig(const CellConfig& config);

// A table must have its generation, dispatcher, members and roster. All fields
// of a configuration may be absent.
JsonResult<CellTable> ParseCellTable(std::string_view text);
JsonResult<CellConfig> ParseCellConfig(std::string_view text);

// The same for a value within a larger text.
void ReadCellTable(const JsonCursor& at, CellTable* out);
void ReadCellConfig(const JsonCursor& at, CellConfig* out);

}  // namespace dottereltrack
