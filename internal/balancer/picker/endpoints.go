package picker

import (
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

// UpdateEndpoints replaces the endpoint list. Of each zone the subset of this instance is used. Servers
// that stay listed keep their measurements; servers that leave complete their requests in flight.
func (p *Picker) UpdateEndpoints(specs []endpointhealth.EndpointSpec, now time.Duration) {
	byZone := map[string][]endpointhealth.EndpointSpec{}
	for _, spec := range specs {
		byZone[spec.Zone] = append(byZone[spec.Zone], spec)
	}
	zoneNames := p.orderZones(byZone)
	used := specs // with key affinity all instances use all servers, as they must have the same ring
	if !p.cfg.KeyAffinity {
		used = nil
		for _, name := range zoneNames {
			used = append(used, subset(p.instance, byZone[name], p.cfg.SubsetSize)...)
		}
	}
	list := p.health.Update(used, now)
	p.placeServers(list.Endpoints, zoneNames)
	for _, e := range p.health.DrainingEndpoints() {
		e.Attachment.(*Server).zone = nil // its requests no longer count for a zone
	}
	p.ring = &ring{}
	if p.cfg.KeyAffinity && len(p.servers) > 0 {
		p.ring = newRing(p.servers)
	}
}

// orderZones returns the names of the zones: first those of Config.Zones in their order, then the
// others sorted by name.
func (p *Picker) orderZones(byZone map[string][]endpointhealth.EndpointSpec) []string {
	names := make([]string, 0, len(byZone))
	for name := range byZone {
		names = append(names, name)
	}
	slices.Sort(names)
	rank := func(name string) int {
		if i := slices.Index(p.cfg.Zones, name); i >= 0 {
			return i
		}
		return len(p.cfg.Zones)
	}
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
	return names
}

// placeServers rebuilds the zones from the servers of a new list.
func (p *Picker) placeServers(endpoints []*endpointhealth.Endpoint, zoneNames []string) {
	p.zones = nil
	p.servers = nil
	zones := map[string]*zone{}
	for _, name := range zoneNames {
		zones[name] = &zone{name: name}
		p.zones = append(p.zones, zones[name])
	}
	totalWeight := 0
	for _, e := range endpoints {
		totalWeight += e.Weight
	}
	for _, e := range endpoints {
		s := e.Attachment.(*Server)
		s.weightRatio = float64(e.Weight*len(endpoints)) / float64(totalWeight)
		s.limit.ApplyBounds(&p.cfg.ConcurrencyLimit)
		s.zone = zones[e.Zone]
		s.zone.servers = append(s.zone.servers, s)
		s.zone.activeRequests += s.ActiveRequests
		p.servers = append(p.servers, s)
	}
}
