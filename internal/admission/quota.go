package admission

import "time"

// quotaBurst is the time for which a tenant's unused quota is saved up.
const quotaBurst = 2 * time.Second

// tenantQuota is a tenant's part of this server, in requests a second.
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

// refillQuotas fills the tenants' buckets for the time elapsed. Each holds one token at least.
func (c *Controller) refillQuotas(elapsed time.Duration) {
	for i := range c.quotaTokens {
		quota := c.tenantQuota(i)
		c.quotaTokens[i] = min(c.quotaTokens[i]+quota*elapsed.Seconds(), max(quota*quotaBurst.Seconds(), 1))
	}
}
