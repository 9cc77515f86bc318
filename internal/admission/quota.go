package admission

import "time"

// quotaBurst is the capacity of a tenant's token bucket, as the time in which its quota fills it.
const quotaBurst = 2 * time.Second

// tenantQuota is this server's share of a tenant's quota, in requests per second.
func (c *Controller) tenantQuota(tenant int) float64 {
	return c.settings.Tenants[tenant].QuotaRate / float64(max(c.settings.Servers, 1))
}

// takeQuotaToken takes a token from a tenant's bucket and reports whether there was one. A tenant
// without a quota always has one.
func (c *Controller) takeQuotaToken(tenant int) bool {
	if tenant < 0 || tenant >= len(c.quotaTokens) || c.settings.Tenants[tenant].QuotaRate <= 0 {
		return true
	}
	if c.quotaTokens[tenant] < 1 {
		return false
	}
	c.quotaTokens[tenant]--
	return true
}

// refillQuotas refills the tenants' buckets for the time elapsed. Each has room for at least one
// token.
func (c *Controller) refillQuotas(elapsed time.Duration) {
	for i := range c.quotaTokens {
		quota := c.tenantQuota(i)
		c.quotaTokens[i] = min(c.quotaTokens[i]+quota*elapsed.Seconds(), max(quota*quotaBurst.Seconds(), 1))
	}
}
