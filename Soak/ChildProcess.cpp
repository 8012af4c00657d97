#include <Soak/ChildProcess.h>

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace Hibiscus::Soak {

namespace {

/// Appends the texts and the null that ends the list.
void appendTexts(std::vector<char *> &list, const std::vector<std::string> &texts)
{
    for (const std::string &text : texts)
        list.push_back(const_cast<char *>(text.c_str()));
    list.push_back(nullptr);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile,
                           const std::vector<std::string> &environment)
{
    std::vector<char *> arguments;
    appendTexts(arguments, command);
    std::vector<char *> variables;
    for (char **variable = environ; *variable; ++variable)
        variables.push_back(*variable);
    appendTexts(variables, environment);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readable);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->id, arguments[0], &actions, nullptr, arguments.data(),
                                  variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), command.front());
}

ChildProcess::~ChildProcess()
{
    if (!this->isRunning())
        return;
    this->signal(SIGKILL);
    waitpid(this->id, &this->endStatus, 0);
}

void ChildProcess::signal(int number) const
{
    if (!this->hasEnded)
        kill(this->id, number);
}

bool ChildProcess::isRunning()
{
    if (!this->hasEnded)
        this->hasEnded = waitpid(this->id, &this->endStatus, WNOHANG) == this->id;
    return !this->hasEnded;
}

long ChildProcess::peakMemoryKiB() const
{
    std::ifstream status("/proc/" + std::to_string(this->id) + "/status");
    std::string word;
    while (!this->hasEnded && status >> word) {
        if (word == "VmHWM:") {
            long peak = 0;
            status >> peak;
            return peak;
        }
    }
    return 0;
}

std::size_t ChildProcess::descriptorCount() const
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(this->id) + "/fd",
                                                   error);
    return this->hasEnded || error ? 0 : std::distance(begin(open), end(open));
}

} // namespace Hibiscus::Soak
