#ifndef MEDLAR_TEST_SUPPORT_ENTRY_STALLING_PEER_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_STALLING_PEER_HPP

#include "support/entry/entry_fixture.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

namespace medlar::test
{

/// @brief A peer on a real socket with a small window, which reads and writes only what
/// the test says.
class stalling_peer
{
  public:
    stalling_peer() : where_(free_endpoint())
    {
        constexpr int small_window = 4096;
        listening_.bind(Poco::Net::SocketAddress(where_.address, where_.port), true);
        listening_.setReceiveBufferSize(small_window);
        listening_.listen();
    }

    const endpoint& where() const
    {
        return where_;
    }

    /// Accepts a connection that has come.
    /// @return whether there is one
    bool accept()
    {
        if (!accepted_ && listening_.poll(Poco::Timespan(0), read_ready))
        {
            accepted_ = listening_.acceptConnection();
        }
        return accepted_.has_value();
    }

    /// Reads at most some bytes, if there are any.
    std::string read(int most)
    {
        std::string bytes;
        if (accept() && accepted_->poll(Poco::Timespan(0), read_ready))
        {
            bytes.resize(static_cast<std::size_t>(most));
            const int received = accepted_->receiveBytes(bytes.data(), most);
            bytes.resize(static_cast<std::size_t>(std::max(0, received)));
        }
        return bytes;
    }

    void write(const std::string& bytes)
    {
        accepted_->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    /// Closes the connection with a reset.
    void reset()
    {
        accepted_->setLinger(true, 0);
        accepted_->close();
    }

    /// Closes the connection after all that was written.
    void finish()
    {
        accepted_->shutdownSend();
    }

  private:
    static constexpr int read_ready = Poco::Net::Socket::SELECT_READ;

    endpoint where_;
    Poco::Net::ServerSocket listening_;
    std::optional<Poco::Net::StreamSocket> accepted_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_STALLING_PEER_HPP
