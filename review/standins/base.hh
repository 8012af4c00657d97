// Time, the record of a case, and child processes.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Appends lines with the Unix time to the record of the case. Several processes may append.
class Record
{
public:
    explicit Record(const std::string &file)
        : descriptor(::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {}

    void line(const std::string &text)
    {
        const std::string full = std::to_string(unixMs()) + " " + text + "\n";
        if (::write(this->descriptor, full.data(), full.size()) < 0)
            std::cerr << "the record can't be written\n";
    }

private:
    int descriptor;
};

/// A port that is free now on the address.
inline unsigned short freePort(const std::string &ip)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    if (::bind(probe, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        ::close(probe);
        return 0;
    }
    ::close(probe);
    return ntohs(address.sin_port);
}

/// Children that this case started, ended by their ids.
class Children
{
public:
    ~Children() { this->endAll(); }

    pid_t start(const std::vector<std::string> &words, const std::string &output,
                const std::map<std::string, std::string> &variables = {})
    {
        const pid_t child = ::fork();
        if (child == 0) {
            // The children end with this process, however it ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            for (int inherited = 3; inherited < 1024; inherited++)
                ::close(inherited);
            for (const auto &[name, value] : variables)
                ::setenv(name.c_str(), value.c_str(), 1);
            std::vector<char *> arguments;
            for (const std::string &word : words)
                arguments.push_back(const_cast<char *>(word.c_str()));
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        this->ids.insert(child);
        return child;
    }

    void kill(pid_t child)
    {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        this->ids.erase(child);
    }

    bool isRunning(pid_t child) { return ::waitpid(child, nullptr, WNOHANG) == 0; }

    void endAll()
    {
        const std::set<pid_t> left = this->ids;
        for (const pid_t child : left)
            this->kill(child);
    }

private:
    std::set<pid_t> ids;
};

} // namespace review
