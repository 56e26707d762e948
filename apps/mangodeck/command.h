#ifndef MANGODECK_APPS_MANGODECK_COMMAND_H
#define MANGODECK_APPS_MANGODECK_COMMAND_H

#include <CLI/CLI.hpp>

#include <memory>

namespace mangodeck {

/// Exit codes of every subcommand.
enum ExitCode : int {
  ExitSuccess = 0,
  ExitFailure = 1,     ///< The work could not be done, e.g. daemon unreachable.
  ExitInvalid = 2,     ///< Input or arguments are wrong; nothing was changed.
  ExitConflict = 3,    ///< Another operator's change was accepted first.
  ExitRefused = 4,     ///< The store refused or is older than a daemon.
  ExitUnconfirmed = 5, ///< Accepted, but not in force everywhere in time.
  ExitUnknown = 6,     ///< Unknown whether the store accepted the change.
};

/// One subcommand of the operators' program.
class Command {
public:
  virtual ~Command() = default;

  /// Adds the subcommand with its options to \p Parent and returns it.
  virtual CLI::App *declare(CLI::App &Parent) = 0;

  /// Runs after the arguments were parsed; returns an exit code.
  virtual int run() = 0;
};

} // namespace mangodeck

#endif
