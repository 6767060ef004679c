// Command usher-standin is part of agateusher.
package main

func main() {}
