#ifndef MANGODECK_TESTING_CHILDPROCESS_H
#define MANGODECK_TESTING_CHILDPROCESS_H

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace mangodeck::testing {

/// Path of a program that the build made, e.g. "standin-target".
inline std::string findProgram(const std::string &Name) {
  const char *Build = std::getenv("MANGODECK_BUILD");
  return std::string(Build ? Build : "build") + "/bin/" + Name;
}

/// A program started by a test, which prints "listening=IP:PORT" as its first
/// line. It is killed, if it still runs, when the object ends.
class ChildProcess {
public:
  explicit ChildProcess(std::vector<std::string> Command) {
    int Pipe[2];
    if (::pipe(Pipe) != 0)
      return;
    m_Pid = ::fork();
    if (m_Pid == 0)
      runChild(Command, Pipe[1]);
    ::close(Pipe[1]);
    m_Output = Pipe[0];
    m_Address = readValue();
  }

  ~ChildProcess() {
    kill(SIGKILL);
    if (m_Output >= 0)
      ::close(m_Output);
  }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// IP:PORT; empty if the program did not start.
  const std::string &address() const { return m_Address; }
  pid_t pid() const { return m_Pid; }

  /// Reads the next line "NAME=VALUE" of the program; its value.
  std::string readValue() {
    std::string Line;
    char C = 0;
    while (::read(m_Output, &C, 1) == 1 && C != '\n')
      Line += C;
    const auto Equals = Line.find('=');
    return Equals == std::string::npos ? "" : Line.substr(Equals + 1);
  }

  void send(int Signal) const {
    if (m_Pid > 0)
      ::kill(m_Pid, Signal);
  }

  /// Ends the program by a signal and waits for its end.
  void kill(int Signal) {
    send(Signal);
    wait();
  }

  /// Waits for the program's end; its exit code, or -1.
  int wait() {
    if (m_Pid <= 0)
      return -1;
    int Status = 0;
    while (::waitpid(m_Pid, &Status, 0) < 0 && errno == EINTR) {
    }
    m_Pid = -1;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  }

private:
  [[noreturn]] static void runChild(const std::vector<std::string> &Command,
                                    int Output) {
    ::dup2(Output, STDOUT_FILENO);
    std::vector<char *> Arguments;
    for (const auto &Argument : Command)
      Arguments.push_back(const_cast<char *>(Argument.c_str()));
    Arguments.push_back(nullptr);
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }

  pid_t m_Pid = -1;
  int m_Output = -1;
  std::string m_Address;
};

} // namespace mangodeck::testing

#endif
