// Command standin runs small stand-ins for the systems outside of bramleyhatch.
package main

func main() {}
