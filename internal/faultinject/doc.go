// Package faultinject builds programs with fault injection in their system calls
// and wall clock, so that tests can expose a real process to the errors that
// Linux documents.
//
// [Build] compiles a main package with modified copies of two files of the
// standard library: package syscall consults a [Plan] around each call made
// through Syscall, Syscall6 or RawSyscall, and package time adds the planned
// offset to the wall clock. The program's own source is not changed. If the
// environment names no plan, the program behaves as if built normally.
//
// Not covered are system calls made by the runtime itself (epoll, futex, memory
// management, its own clock), calls made by C code, and the actions of other
// processes. An injected error replaces the call, which is not made. Short
// transfers and delays apply to the real call.
package faultinject
