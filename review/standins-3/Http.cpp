#include "Http.h"

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace Scene {

namespace {

sockaddr_in loopback(int port, const std::string &ip = "127.0.0.1")
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string &ip, int port, int &boundPort)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = loopback(port, ip);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(descriptor, 512) != 0) {
        close(descriptor);
        return -1;
    }
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    boundPort = ntohs(address.sin_port);
    return descriptor;
}

std::string lowerCase(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
    return text;
}

std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); i++) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(
                static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

/// Reads messages with a Content-Length from a socket.
class Reader
{
public:
    explicit Reader(int descriptor)
        : descriptor(descriptor)
    {}

    /// Reads one message. Returns false at the end of the connection or after a time-out.
    bool read(std::string &startLine, std::map<std::string, std::string> &headers,
              std::string &body)
    {
        std::size_t end = 0;
        while ((end = this->data.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more())
                return false;
        }
        const std::string head = this->data.substr(0, end);
        this->data.erase(0, end + 4);
        const std::size_t lineEnd = head.find("\r\n");
        startLine = head.substr(0, lineEnd);
        headers.clear();
        for (std::size_t at = lineEnd; at != std::string::npos;) {
            const std::size_t begin = at + 2;
            at = head.find("\r\n", begin);
            const std::string line = head.substr(begin, at - begin);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers[lowerCase(line.substr(0, colon))]
                = value == std::string::npos ? "" : line.substr(value);
        }
        const auto length = headers.find("content-length");
        const std::size_t size
            = length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
        while (this->data.size() < size) {
            if (!this->more())
                return false;
        }
        body = this->data.substr(0, size);
        this->data.erase(0, size);
        return true;
    }

private:
    bool more()
    {
        char buffer[16384];
        const ssize_t got = recv(this->descriptor, buffer, sizeof buffer, 0);
        if (got <= 0)
            return false;
        this->data.append(buffer, static_cast<std::size_t>(got));
        return true;
    }

    int descriptor;
    std::string data;
};

bool sendAll(int descriptor, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t now = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (now <= 0)
            return false;
        sent += static_cast<std::size_t>(now);
    }
    return true;
}

void parseTarget(const std::string &target, Request &request)
{
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
}

void serveConnection(int descriptor, const Handler &handler)
{
    const int yes = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    Reader reader(descriptor);
    std::string startLine;
    Request request;
    while (reader.read(startLine, request.headers, request.body)) {
        const std::size_t first = startLine.find(' ');
        const std::size_t second = startLine.find(' ', first + 1);
        request.method = startLine.substr(0, first);
        request.query.clear();
        parseTarget(startLine.substr(first + 1, second - first - 1), request);
        const Response response = handler(request);
        if (response.status == 0)
            break;
        const std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(descriptor, text))
            break;
    }
    close(descriptor);
}

} // namespace

Server::Server(Handler handler)
{
    const int listener = listenOn("127.0.0.1", 0, this->boundPort);
    if (listener < 0) {
        std::perror("listen");
        std::exit(2);
    }
    const auto shared = std::make_shared<Handler>(std::move(handler));
    std::thread([listener, shared] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            std::thread([descriptor, shared] { serveConnection(descriptor, *shared); }).detach();
        }
    }).detach();
}

int freePort(const std::string &ip, int wanted)
{
    int port = 0;
    const int descriptor = listenOn(ip, wanted, port);
    if (descriptor < 0)
        return 0;
    close(descriptor);
    return port;
}

Response call(const std::string &address, const std::string &method, const std::string &path,
              const std::map<std::string, std::string> &headers, const std::string &body,
              int timeoutMs)
{
    Response response;
    response.status = 0;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000L};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const std::size_t colon = address.find(':');
    const sockaddr_in peer
        = loopback(std::atoi(address.c_str() + colon + 1), address.substr(0, colon));
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
        for (const auto &[name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!body.empty())
            text += "Content-Type: application/json\r\n";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string startLine;
        std::map<std::string, std::string> fields;
        Reader reader(descriptor);
        if (sendAll(descriptor, text) && reader.read(startLine, fields, response.body))
            response.status = std::atoi(startLine.substr(startLine.find(' ') + 1).c_str());
    }
    close(descriptor);
    return response;
}

} // namespace Scene
