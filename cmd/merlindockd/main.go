// Command merlindockd is the merlindock daemon.
package main

func main() {}
