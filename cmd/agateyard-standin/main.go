// Command agateyard-standin runs the stand-ins of outside systems for tests and the demo.
package main

func main() {}
