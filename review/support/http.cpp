#include "support/http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <thread>

namespace review
{

namespace
{

sockaddr_in local_address(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bind_to(int descriptor, std::uint16_t port)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = local_address(port);
    return bind(descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string decoded(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
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

std::string http_message::header(const std::string& name) const
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

std::string http_message::path() const
{
    return second.substr(0, second.find('?'));
}

std::string http_message::query(const std::string& name) const
{
    const std::size_t begin = second.find('?');
    std::size_t at = begin == std::string::npos ? second.size() : begin + 1;
    while (at < second.size())
    {
        const std::size_t end = std::min(second.find('&', at), second.size());
        const std::string field = second.substr(at, end - at);
        if (field.compare(0, name.size() + 1, name + "=") == 0)
        {
            return decoded(field.substr(name.size() + 1));
        }
        at = end + 1;
    }
    return {};
}

int http_message::status() const
{
    return std::atoi(second.c_str());
}

http_connection::~http_connection()
{
    close();
}

int http_connection::connect_to(std::uint16_t port, int receive_buffer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
    {
        setsockopt(
            descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const sockaddr_in address = local_address(port);
    if (connect(
            descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

void http_connection::close()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void http_connection::set_timeout(milliseconds timeout) const
{
    timeval value{};
    value.tv_sec = static_cast<time_t>(timeout.count() / 1000);
    value.tv_usec = static_cast<suseconds_t>(timeout.count() % 1000 * 1000);
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool http_connection::has_event(milliseconds wait) const
{
    pollfd entry{descriptor_, POLLIN, 0};
    return poll(&entry, 1, static_cast<int>(wait.count())) > 0;
}

bool http_connection::fill()
{
    constexpr std::size_t slow_step = 4096;
    constexpr std::size_t step = 65536;
    char buffer[step];
    const std::size_t wanted = bytes_per_s_ > 0 ? slow_step : step;
    const ssize_t received = recv(descriptor_, buffer, wanted, 0);
    if (received <= 0)
    {
        return false;
    }
    input_.append(buffer, static_cast<std::size_t>(received));
    if (bytes_per_s_ > 0)
    {
        std::this_thread::sleep_for(
            std::chrono::duration<double>(static_cast<double>(received) / bytes_per_s_));
    }
    return true;
}

bool http_connection::read_head(http_message& to)
{
    std::size_t end = input_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return false;
        }
        end = input_.find("\r\n\r\n");
    }
    std::size_t at = input_.find("\r\n");
    const std::string line = input_.substr(0, at);
    const std::size_t space = line.find(' ');
    to.first = line.substr(0, space);
    to.second = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    while (at < end)
    {
        at += 2;
        const std::size_t next = input_.find("\r\n", at);
        const std::size_t colon = input_.find(':', at);
        std::size_t value = colon + 1;
        while (value < next && input_[value] == ' ')
        {
            ++value;
        }
        to.headers.emplace_back(input_.substr(at, colon - at),
                                input_.substr(value, next - value));
        at = next;
    }
    input_.erase(0, end + 4);
    return true;
}

bool http_connection::read_chunks(http_message& to)
{
    while (true)
    {
        std::size_t end = input_.find("\r\n");
        while (end == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
            end = input_.find("\r\n");
        }
        const auto size =
            static_cast<std::size_t>(std::strtoul(input_.c_str(), nullptr, 16));
        while (input_.size() < end + 2 + size + 2)
        {
            if (!fill())
            {
                return false;
            }
        }
        to.body += input_.substr(end + 2, size);
        input_.erase(0, end + 2 + size + 2);
        if (size == 0)
        {
            return true;
        }
    }
}

bool http_connection::read_request(http_message& to)
{
    if (!read_head(to))
    {
        return false;
    }
    read_answer_body(to);
    return to.is_complete;
}

bool http_connection::read_answer_head(http_message& to)
{
    return read_head(to);
}

void http_connection::read_answer_body(http_message& to, double bytes_per_s)
{
    bytes_per_s_ = bytes_per_s;
    if (strcasecmp(to.header("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        to.is_complete = read_chunks(to);
        return;
    }
    const auto length = static_cast<std::size_t>(
        std::strtoul(to.header("Content-Length").c_str(), nullptr, 10));
    bool is_open = true;
    while (is_open && input_.size() < length)
    {
        is_open = fill();
    }
    to.body = input_.substr(0, length);
    input_.erase(0, to.body.size());
    to.is_complete = to.body.size() == length;
}

bool http_connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t step =
            send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (step <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(step);
    }
    return true;
}

int listen_at_free_port(std::uint16_t& port, int receive_buffer)
{
    constexpr int backlog = 256;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
    {
        setsockopt(
            listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    if (!bind_to(listener, 0) || listen(listener, backlog) != 0)
    {
        throw std::runtime_error("cannot listen");
    }
    port = port_of(listener);
    return listener;
}

int accept_connection(int listener)
{
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return accepted;
}

http_server::http_server(handler handle) : handle_(std::move(handle))
{
    listener_ = listen_at_free_port(port_);
    std::thread(
        [this]
        {
            while (true)
            {
                const int accepted = accept_connection(listener_);
                if (accepted < 0)
                {
                    return;
                }
                std::thread(
                    [this, accepted]
                    {
                        http_connection connection(accepted);
                        bool is_open = true;
                        while (is_open)
                        {
                            http_message request;
                            is_open = connection.read_request(request) &&
                                      handle_(request, connection);
                        }
                    })
                    .detach();
            }
        })
        .detach();
}

std::string http_server::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void http_server::stop_listening()
{
    const int listener = listener_.exchange(-1);
    if (listener >= 0)
    {
        shutdown(listener, SHUT_RDWR);
        ::close(listener);
    }
}

std::string answer_text(int status,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " status\r\n";
    for (const auto& each : headers)
    {
        out += each.first + ": " + each.second + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::uint16_t free_ports(int count)
{
    constexpr int tries = 200;
    for (int i = 0; i < tries; ++i)
    {
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bind_to(probe, 0);
        const std::uint16_t first = port_of(probe);
        ::close(probe);
        bool are_free = first + count < 65536;
        for (int port = first; are_free && port < first + count; ++port)
        {
            const int each = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            are_free = bind_to(each, static_cast<std::uint16_t>(port));
            ::close(each);
        }
        if (are_free)
        {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

} // namespace review
