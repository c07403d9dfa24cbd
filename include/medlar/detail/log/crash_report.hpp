#ifndef MEDLAR_DETAIL_LOG_CRASH_REPORT_HPP
#define MEDLAR_DETAIL_LOG_CRASH_REPORT_HPP

namespace medlar
{

/// @brief Lets a process that ends by a fatal signal (SIGSEGV, SIGBUS, SIGILL, SIGFPE,
/// SIGABRT) write the signal and the stack of the thread to standard error first. It ends
/// by the same signal afterwards.
/// @note The lines name offsets in the program, for addr2line. Events that are still
/// buffered are lost.
void enable_crash_reports();

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_CRASH_REPORT_HPP
