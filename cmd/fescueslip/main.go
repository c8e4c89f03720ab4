// Command fescueslip is the router's single binary.
package main

func main() {}
