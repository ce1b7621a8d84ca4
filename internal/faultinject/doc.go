// Package faultinject builds a program whose system calls and wall clock follow
// a plan, so that a real process meets the errors that Linux documents.
//
// [Build] compiles a main package with changed copies of two files of the
// standard library: package syscall asks the plan before each call that goes
// through Syscall, Syscall6 or RawSyscall, and package time adds the planned
// offset to the wall clock. The program's own source stays as it is. Without a
// plan in the environment the program acts as one built without this package.
//
// What it cannot reach: calls that the runtime makes by itself (epoll, futex,
// memory, its own clock), calls made by C code, and what other processes do. An
// injected error takes the place of the call, which is then not made; a short
// transfer and a delay are real.
package faultinject
