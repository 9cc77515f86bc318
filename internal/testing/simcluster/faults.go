package simcluster

import "time"

const (
	minFault, maxFault     = 20 * time.Millisecond, 4 * time.Second
	minRestart, maxRestart = 50 * time.Millisecond, 3 * time.Second
)

// Fault injects a random fault into a random node, link or part of the cluster.
func (c *Cluster) Fault() {
	n, other := c.Nodes[c.Rand.IntN(len(c.Nodes))], c.Nodes[c.Rand.IntN(len(c.Nodes))]
	d := c.Between(minFault, maxFault)
	switch c.Rand.IntN(10) {
	case 0, 1:
		if c.mayFail(n) {
			n.Crash(c.Between(minRestart, maxRestart), Disk(c.Rand.IntN(int(diskCount))))
		}
	case 2:
		n.Stop(d)
	case 3:
		n.Suspend(d)
	case 4:
		c.log("%s and %s are cut for %d ms", n.Name, other.Name, d.Milliseconds())
		c.Cut(n.Name, other.Name, d, c.Rand.IntN(2) == 0)
	case 5, 6:
		n.CutOff(d, c.Rand.IntN(3) > 0)
	case 7:
		c.log("%s is cut off for %d ms", n.Zone, d.Milliseconds())
		c.cutBetween(d, func(a *Node) bool { return a.Zone == n.Zone })
	case 8:
		if n.Up && c.mayFail(n) {
			n.Replace()
		}
	case 9:
		c.log("the cluster is cut in two for %d ms", d.Milliseconds())
		c.cutBetween(d, func(a *Node) bool { return a.Name[len(a.Name)-1]%2 == 0 })
	}
}

func (c *Cluster) mayFail(n *Node) bool { return c.options.MayFail == nil || c.options.MayFail(n) }

// cutBetween cuts the links between the nodes of a side and all others, in both directions.
func (c *Cluster) cutBetween(d time.Duration, inSide func(n *Node) bool) {
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if inSide(a) && !inSide(b) {
				c.Cut(a.Name, b.Name, d, true)
			}
		}
	}
}
