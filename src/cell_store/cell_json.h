#pragma once

#include <string>
#include <string_view>

#include "core/cell.h"
#include "json/json_fields.h"

namespace dottereltrack {

// Encode the cell table and the configuration as JSON objects. Ids are strings
// of 16 hexadecimal digits. Parsing ignores unknown fields.
std::string EncodeCellTable(const CellTable& table);
std::string EncodeCellConfig(const CellConfig& config);

// Parse the JSON objects. A table requires the fields generation, dispatcher,
// members and roster. All fields of a configuration are optional.
JsonResult<CellTable> ParseCellTable(std::string_view text);
JsonResult<CellConfig> ParseCellConfig(std::string_view text);

// Read a value that is nested in a larger JSON document.
void ReadCellTable(const JsonCursor& at, CellTable* out);
void ReadCellConfig(const JsonCursor& at, CellConfig* out);

}  // namespace dottereltrack
