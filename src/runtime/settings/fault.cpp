#include "runtime/settings/fault.h"

namespace dottereltrack {
namespace {

std::string RenderFault(const std::string& file, const SettingsFault& fault) {
  std::string text = file;
  if (fault.line > 0) text += ":" + std::to_string(fault.line);
  text += ": ";
  if (!fault.key.empty()) text += "'" + fault.key + "': ";
  text += "found " + fault.found;
  text += "; allowed: " + fault.allowed;
  text += "; remedy: " + fault.remedy;
  return text;
}

}  // namespace

std::string RenderFaults(const std::string& file,
                         const std::vector<SettingsFault>& faults) {
  std::string text;
  for (const SettingsFault& fault : faults) {
    text += RenderFault(file, fault) + "\n";
  }
  return text;
}

}  // namespace dottereltrack
