// Command usher-api is part of agateusher.
package main

func main() {}
