// Command nutmeglatchd is the load balancer process of an entry host.
package main

func main() {}
