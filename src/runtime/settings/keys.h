#pragma once

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "runtime/settings/document.h"
#include "runtime/settings/settings_error.h"

namespace dottereltrack {

// Describes one key of a settings file; the value is stored in a T.
template <typename T>
struct SettingKey {
  std::string name;
  std::string meaning;
  std::string allowed;
  bool is_required = false;
  // The value must not appear in any output.
  bool is_secret = false;
  // Stores the value. Returns false if the value is not allowed.
  std::function<bool(T*, const nlohmann::json&)> read;
  std::function<nlohmann::json(const T&)> write;
};

// A constraint that involves several keys.
template <typename T>
struct SettingConstraint {
  // The key for which a violation is reported.
  std::string key;
  std::string allowed;
  std::string remedy;
  std::function<bool(const T&)> is_satisfied;
};

// The keys and constraints of the settings of one daemon.
template <typename T>
struct SettingsSchema {
  std::vector<SettingKey<T>> keys;
  std::vector<SettingConstraint<T>> constraints;
};

// Formats the value of a key for an error message. A secret value is hidden.
std::string DescribeValue(const nlohmann::json& value, bool is_secret);

// Returns the error for a key that is not in the schema.
SettingsError UnknownKeyError(const std::string& key, std::size_t line,
                              const std::vector<std::string>& known);

// Formats one "key": value line with the meaning as a comment, for
// --print-settings. A value that could not be read back is commented out.
std::string FormatKey(const std::string& name, const std::string& meaning,
                      const std::string& allowed, const std::string& value,
                      bool can_be_read_back, bool is_last);

// Reads the keys of the schema from the document into `settings`. Reports
// invalid values and missing required keys.
template <typename T>
void ReadKnownKeys(const SettingsSchema<T>& schema,
                   const SettingsDocument& document, T* settings,
                   std::vector<SettingsError>* errors) {
  for (const SettingKey<T>& key : schema.keys) {
    const auto it = document.values.find(key.name);
    if (it == document.values.end()) {
      if (!key.is_required) continue;
      errors->push_back({key.name, 0, "no value for this required key",
                         key.allowed, "add the key: " + key.meaning});
    } else if (!key.read(settings, *it)) {
      errors->push_back({key.name, FindKeyLine(document, key.name),
                         DescribeValue(*it, key.is_secret), key.allowed,
                         "set it to an allowed value: " + key.meaning});
    }
  }
}

// Reports each key of the document that is not in the schema.
template <typename T>
void ReportUnknownKeys(const SettingsSchema<T>& schema,
                       const SettingsDocument& document,
                       std::vector<SettingsError>* errors) {
  std::vector<std::string> known;
  for (const SettingKey<T>& key : schema.keys) known.push_back(key.name);
  for (const auto& item : document.values.items()) {
    const std::string& name = item.key();
    if (std::find(known.begin(), known.end(), name) != known.end()) continue;
    errors->push_back(
        UnknownKeyError(name, FindKeyLine(document, name), known));
  }
}

// Reports each violated constraint between keys.
template <typename T>
void CheckConstraints(const SettingsSchema<T>& schema,
                      const SettingsDocument& document, const T& settings,
                      std::vector<SettingsError>* errors) {
  for (const SettingConstraint<T>& constraint : schema.constraints) {
    if (constraint.is_satisfied(settings)) continue;
    const auto key = std::find_if(
        schema.keys.begin(), schema.keys.end(),
        [&](const SettingKey<T>& it) { return it.name == constraint.key; });
    errors->push_back({constraint.key, FindKeyLine(document, constraint.key),
                       key->write(settings).dump(), constraint.allowed,
                       constraint.remedy});
  }
}

// Reads the document into `settings` and appends all errors, sorted by line. A
// key with an invalid value keeps its default while the constraints between
// keys are checked.
template <typename T>
void ReadKeys(const SettingsSchema<T>& schema, const SettingsDocument& document,
              T* settings, std::vector<SettingsError>* errors) {
  ReadKnownKeys(schema, document, settings, errors);
  ReportUnknownKeys(schema, document, errors);
  CheckConstraints(schema, document, *settings, errors);
  std::stable_sort(errors->begin(), errors->end(),
                   [](const SettingsError& a, const SettingsError& b) {
                     return a.line < b.line;
                   });
}

// Formats the settings as a commented settings file. Secrets are hidden.
template <typename T>
std::string FormatSettings(const SettingsSchema<T>& schema, const T& settings) {
  std::string text = "{\n";
  for (std::size_t n = 0; n < schema.keys.size(); ++n) {
    const SettingKey<T>& key = schema.keys[n];
    const nlohmann::json value = key.write(settings);
    T parsed;
    const bool can_be_read_back = !key.is_secret && key.read(&parsed, value);
    text += FormatKey(key.name, key.meaning, key.allowed,
                      key.is_secret ? "(not shown)" : value.dump(),
                      can_be_read_back, n + 1 == schema.keys.size());
  }
  return text + "}\n";
}

}  // namespace dottereltrack
