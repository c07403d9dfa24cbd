#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace review
{

namespace
{

constexpr int no_limit_ms = 600000;

sockaddr_in socket_address(const address& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

bool bind_to(int descriptor, const address& where)
{
    const sockaddr_in bound = socket_address(where);
    return ::bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) ==
           0;
}

std::string trimmed(const std::string& text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

std::string decoded(const std::string& text)
{
    constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, hexadecimal));
            i += 2;
        }
        else
        {
            out += text[i];
        }
    }
    return out;
}

} // namespace

const char* to_string(answer_end end)
{
    switch (end)
    {
        case answer_end::whole:
            return "whole";
        case answer_end::closed:
            return "closed";
        case answer_end::cut:
            return "cut";
        case answer_end::none:
            return "none";
        case answer_end::timed_out:
            return "timed out";
    }
    return "unknown";
}

std::string message::get(const std::string& name) const
{
    for (const auto& each : headers)
    {
        if (strcasecmp(each.first.c_str(), name.c_str()) == 0)
        {
            return each.second;
        }
    }
    return {};
}

bool message::has(const std::string& name) const
{
    for (const auto& each : headers)
    {
        if (strcasecmp(each.first.c_str(), name.c_str()) == 0)
        {
            return true;
        }
    }
    return false;
}

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void pause_ms(std::int64_t span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

channel::channel(int descriptor) : descriptor_(descriptor)
{
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

channel::~channel()
{
    close();
}

std::unique_ptr<channel> channel::connect(const address& where, int timeout_ms)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const sockaddr_in to = socket_address(where);
    const int begun =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (begun != 0 && errno != EINPROGRESS)
    {
        ::close(descriptor);
        return nullptr;
    }
    pollfd watched{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&watched, 1, timeout_ms) != 1 ||
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<channel>(descriptor);
}

bool channel::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t step =
            ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (step <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(step);
    }
    return true;
}

channel::receipt channel::receive(std::int64_t until_ms)
{
    std::array<char, 65536> buffer{};
    pollfd watched{descriptor_, POLLIN, 0};
    const std::int64_t left = until_ms - now_ms();
    if (left <= 0 || ::poll(&watched, 1, static_cast<int>(left)) != 1)
    {
        return receipt::timed_out;
    }
    const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (size <= 0)
    {
        return size == 0 ? receipt::closed : receipt::reset;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(size));
    return receipt::bytes;
}

channel::receipt channel::read_head(message& into, std::int64_t until_ms)
{
    std::size_t end = input_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        const receipt got = receive(until_ms);
        if (got != receipt::bytes)
        {
            return got;
        }
        end = input_.find("\r\n\r\n");
    }
    const std::string head = input_.substr(0, end + 2);
    input_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    into.first_line = head.substr(0, at);
    at += 2;
    while (at < head.size())
    {
        const std::size_t line_end = head.find("\r\n", at);
        const std::string line = head.substr(at, line_end - at);
        const std::size_t colon = line.find(':');
        into.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        at = line_end + 2;
    }
    return receipt::bytes;
}

channel::receipt
channel::read_length(message& into, std::size_t length, std::int64_t until_ms)
{
    receipt got = receipt::bytes;
    while (input_.size() < length && got == receipt::bytes)
    {
        got = receive(until_ms);
    }
    const std::size_t size = std::min(length, input_.size());
    into.body += input_.substr(0, size);
    input_.erase(0, size);
    return got;
}

channel::receipt channel::read_chunks(message& into, std::int64_t until_ms)
{
    constexpr int hexadecimal = 16;
    while (true)
    {
        std::size_t end = input_.find("\r\n");
        while (end == std::string::npos)
        {
            const receipt got = receive(until_ms);
            if (got != receipt::bytes)
            {
                return got;
            }
            end = input_.find("\r\n");
        }
        const std::size_t size = std::strtoul(input_.c_str(), nullptr, hexadecimal);
        input_.erase(0, end + 2);
        const receipt got = read_length(into, size, until_ms);
        if (got != receipt::bytes)
        {
            return got;
        }
        message line_end;
        const receipt ended = read_length(line_end, 2, until_ms);
        if (ended != receipt::bytes || size == 0)
        {
            return ended;
        }
    }
}

std::optional<message> channel::read_request()
{
    message request;
    const std::int64_t until = now_ms() + no_limit_ms;
    if (read_head(request, until) != receipt::bytes)
    {
        return std::nullopt;
    }
    receipt got = receipt::bytes;
    if (strcasecmp(request.get("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        got = read_chunks(request, until);
    }
    else if (request.has("Content-Length"))
    {
        got = read_length(request, std::stoul(request.get("Content-Length")), until);
    }
    return got == receipt::bytes ? std::optional<message>(request) : std::nullopt;
}

answer_end channel::read_answer(message& answer, int timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    receipt got = read_head(answer, until);
    if (got != receipt::bytes)
    {
        return got == receipt::timed_out ? answer_end::timed_out
               : input_.empty()          ? answer_end::none
                                         : answer_end::cut;
    }
    if (strcasecmp(answer.get("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        got = read_chunks(answer, until);
    }
    else if (answer.has("Content-Length"))
    {
        got = read_length(answer, std::stoul(answer.get("Content-Length")), until);
    }
    else
    {
        while (got == receipt::bytes)
        {
            got = receive(until);
        }
        answer.body = std::exchange(input_, {});
        return got == receipt::closed  ? answer_end::closed
               : got == receipt::reset ? answer_end::cut
                                       : answer_end::timed_out;
    }
    return got == receipt::bytes       ? answer_end::whole
           : got == receipt::timed_out ? answer_end::timed_out
                                       : answer_end::cut;
}

void channel::close()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void channel::reset()
{
    const linger at_once{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

bool channel::has_ended()
{
    char next = 0;
    const ssize_t peeked = ::recv(descriptor_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

server::server(address where, action on_connection)
    : where_(std::move(where)),
      descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 256;
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!bind_to(descriptor_, where_) || ::listen(descriptor_, backlog) != 0)
    {
        std::cerr << "cannot listen on " << where_.text() << std::endl;
        std::_Exit(2);
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size);
    where_.port = ntohs(bound.sin_port);
    std::thread(
        [listening = descriptor_, on_connection = std::move(on_connection)]
        {
            while (true)
            {
                const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                {
                    return;
                }
                std::thread(
                    [accepted, on_connection]
                    {
                        channel peer(accepted);
                        on_connection(peer);
                    })
                    .detach();
            }
        })
        .detach();
}

void server::stop()
{
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
}

std::string answer_text(int status,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& each : headers)
    {
        out += each.first + ": " + each.second + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

std::string path_of(const message& request)
{
    const std::size_t begin = request.first_line.find(' ') + 1;
    const std::size_t end = request.first_line.find_first_of(" ?", begin);
    return request.first_line.substr(begin, end - begin);
}

std::string parameter_of(const message& request, const std::string& name)
{
    const std::size_t begin = request.first_line.find(' ') + 1;
    const std::size_t end = request.first_line.find(' ', begin);
    const std::string target = request.first_line.substr(begin, end - begin);
    std::size_t at = target.find('?');
    while (at != std::string::npos)
    {
        const std::size_t next = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, next - at - 1);
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name)
        {
            return equals == std::string::npos ? "" : decoded(part.substr(equals + 1));
        }
        at = next;
    }
    return {};
}

int status_of(const message& answer)
{
    const std::size_t space = answer.first_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(answer.first_line.c_str() + space);
}

std::uint16_t free_ports(const std::string& ip, int count)
{
    constexpr int lowest = 20000;
    constexpr int highest = 31000;
    constexpr int tries = 1000;
    std::mt19937 random{std::random_device{}()};
    for (int i = 0; i < tries; ++i)
    {
        const int base = lowest + static_cast<int>(random() % (highest - lowest));
        bool are_free = true;
        for (int port = base; port < base + count && are_free; ++port)
        {
            const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
            are_free = bind_to(probe, {ip, static_cast<std::uint16_t>(port)});
            ::close(probe);
        }
        if (are_free)
        {
            return static_cast<std::uint16_t>(base);
        }
    }
    std::cerr << "no free ports" << std::endl;
    std::_Exit(2);
}

} // namespace review
