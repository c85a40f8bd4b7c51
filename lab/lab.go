// Package lab is the root of the stand-ins and benches; the daemon imports
// none of it.
package lab
