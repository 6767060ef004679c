// Command usherctl is part of agateusher.
package main

func main() {}
