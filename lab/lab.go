// Package lab is the root of the module of simulators, load generators,
// benchmarks and system tests. The daemon imports none of its packages.
package lab
