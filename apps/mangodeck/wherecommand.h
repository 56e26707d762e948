#ifndef MANGODECK_APPS_MANGODECK_WHERECOMMAND_H
#define MANGODECK_APPS_MANGODECK_WHERECOMMAND_H

#include "command.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mangodeck {

/// "mangodeck where": asks a gateway where a request would go now, and why.
/// Nothing is sent to a target.
class WhereCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  /// Takes what is not given as an option from the request in the file; false
  /// if the file holds none.
  bool readRequestFile();

  std::string m_Daemon;
  std::string m_Method;
  std::string m_Host;
  std::string m_Path;
  std::string m_Key;
  std::string m_Service;
  std::string m_RequestFile;
  std::vector<std::string> m_Headers;
  std::size_t m_BodyBytes = 0;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
