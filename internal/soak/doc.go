// Package soak runs a fleet of real sender processes on loopback under random,
// overlapping faults and checks from outside that they follow the protocol.
//
// The settings, traffic and faults of a run are generated from a seed. Endpoints,
// discovery, the platform and clients are simulated by this package: they speak
// the published protocol and misbehave as the faults require. Faults in the
// senders' system calls and steps of their wall clocks are injected by package
// faultinject. The [Checker] records the traffic between the senders and their
// peers; it knows no more about a sender than its peers do.
//
// The seed determines which faults occur and when, but not how the operating
// system schedules the processes. A failing seed may therefore have to be run
// more than once to fail again.
package soak
