#pragma once

#include <array>
#include <cstddef>
#include <streambuf>

namespace teaselward
{

/** Output buffer of a stream that writes to a file descriptor. Unlike std::cerr, it passes a line on in one system call. */
class fd_stream_buffer : public std::streambuf
{
public:
    /**
     * Creates an empty buffer.
     * @param descriptor open file descriptor; it is not closed
     */
    explicit fd_stream_buffer(int descriptor);

protected:
    int_type overflow(int_type next) override;
    int sync() override;

private:
    static constexpr std::size_t Capacity = 4096;

    int m_descriptor;
    std::array<char, Capacity> m_buffer{};
};

} // namespace teaselward
