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

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readable);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = posix_spawn(&this->id, arguments[0], &actions, nullptr, arguments.data(), environ);
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
