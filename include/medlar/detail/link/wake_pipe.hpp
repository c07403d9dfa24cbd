#ifndef MEDLAR_DETAIL_LINK_WAKE_PIPE_HPP
#define MEDLAR_DETAIL_LINK_WAKE_PIPE_HPP

namespace medlar
{

/// @brief Pipe that interrupts the poll() of another thread.
/// @note Thread-safe.
class wake_pipe
{
  public:
    wake_pipe();
    ~wake_pipe();

    wake_pipe(const wake_pipe&) = delete;
    wake_pipe& operator=(const wake_pipe&) = delete;

    /// @brief Makes the descriptor readable until drain().
    void wake();

    /// @brief Discards all wake-ups so far.
    void drain();

    /// @brief Returns the descriptor to poll for reading.
    int descriptor() const
    {
        return ends_[0];
    }

  private:
    int ends_[2] = {-1, -1};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_WAKE_PIPE_HPP
