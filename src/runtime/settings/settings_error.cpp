#include "runtime/settings/settings_error.h"

namespace dottereltrack {
namespace {

std::string FormatSettingsError(const std::string& file,
                                const SettingsError& error) {
  std::string text = file;
  if (error.line > 0) text += ":" + std::to_string(error.line);
  text += ": ";
  if (!error.key.empty()) text += "'" + error.key + "': ";
  text += "found " + error.found;
  text += "; allowed: " + error.allowed;
  text += "; remedy: " + error.remedy;
  return text;
}

}  // namespace

std::string FormatSettingsErrors(const std::string& file,
                                 const std::vector<SettingsError>& errors) {
  std::string text;
  for (const SettingsError& error : errors) {
    text += FormatSettingsError(file, error) + "\n";
  }
  return text;
}

}  // namespace dottereltrack
