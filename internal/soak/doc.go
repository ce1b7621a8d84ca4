// Package soak plays a fleet of real sender processes on loopback under random
// faults that overlap in time, and checks the rules of the protocol from outside.
//
// A run is drawn from a seed: settings, traffic and troubles. Endpoints,
// discovery, the platform and clients are stand-ins of this package, which speak
// the published protocol and misbehave as the troubles say. System calls and the
// wall clock of the senders follow a plan of package faultinject. The [Ledger]
// hears of all that passes and knows no more of a sender than its peers do.
//
// What a run decides by its seed is what happens and when; how the processes
// interleave is the machine's affair, so that a seed may have to be played more
// than once to fail again.
package soak
