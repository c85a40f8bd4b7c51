// Command merlindock is the operator's and developer's tool.
package main

func main() {}
