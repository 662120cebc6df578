#pragma once

#include <cstddef>
#include <string>

#include "json/json_error.h"

// What the two readers of bounded JSON share: the builder of trees and the
// stream.
namespace dottereltrack {

// Containers that are open where an item begins: the text's object and the
// list or object that holds the item.
inline constexpr std::size_t kItemDepth = 2;

// Id of the JSON library's error for a number that does not fit a double.
inline constexpr int kNumberOverflowErrorId = 406;

JsonError TooManyBytesError(std::size_t max_bytes);
JsonError TooManyValuesError(std::size_t max_values);
// The error for a syntax error at this position.
JsonError NotJsonError(std::size_t position);

// Replaces numbers that do not fit a double by null. The shortest of them,
// such as 1e309, has more characters than null. Does not recognise comments.
std::string ReplaceTooLargeNumbers(std::string text);

}  // namespace dottereltrack
