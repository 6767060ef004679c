// Command usher-load is part of agateusher.
package main

func main() {}
