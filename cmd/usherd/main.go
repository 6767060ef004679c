// Command usherd is part of agateusher.
package main

func main() {}
