package config

import (
	"fmt"
	"slices"
)

// referenceCheck looks for objects that do not fit together. It keeps the first
// fault in the order of kinds and names, so that the verdict is deterministic.
type referenceCheck struct {
	ticket  uint64
	pools   map[string]PoolRole
	refusal *Refusal
}

// checkReferences checks the whole state after ticket t was applied.
func (c *Configuration) checkReferences(t *Ticket) *Refusal {
	content, err := DecodeObjects(c.Objects())
	if err != nil {
		return &Refusal{Kind: RefusalReference, Ticket: t.Number, Object: t.Objects[0].Ref,
			Message: err.Error(), Remedy: "use the version of fescueslip that wrote the stored configuration"}
	}
	check := referenceCheck{ticket: t.Number, pools: make(map[string]PoolRole, len(content.Pools))}
	for _, p := range content.Pools {
		check.pools[p.Name] = p.Role
	}
	for _, u := range content.Upstreams {
		check.upstream(u)
	}
	for _, m := range content.Models {
		check.pool(Ref{KindModel, m.Name}, "prefill_pool", m.PrefillPool, RolePrefill)
		check.pool(Ref{KindModel, m.Name}, "decode_pool", m.DecodePool, RoleDecode)
	}
	prefixes := make(map[string]Ref, len(content.Routes))
	for _, r := range content.Routes {
		ref := Ref{KindRoute, r.Name}
		check.pool(ref, "pool", r.Pool, RoleService)
		check.unique(prefixes, r.Prefix, ref, "prefix "+r.Prefix)
	}
	keys := make(map[string]Ref, len(content.Callers))
	for _, caller := range content.Callers {
		check.unique(keys, caller.KeySHA256, Ref{KindCaller, caller.Name}, "key_sha256")
	}
	return check.refusal
}

func (c *referenceCheck) upstream(u *Upstream) {
	ref := Ref{KindUpstream, u.Name}
	if u.Kind == UpstreamService {
		c.pool(ref, "pool", u.Pool, RoleService)
		return
	}
	c.pool(ref, "pool", u.Pool, RolePrefill, RoleDecode)
}

func (c *referenceCheck) pool(ref Ref, key, pool string, roles ...PoolRole) {
	role, ok := c.pools[pool]
	if ok && slices.Contains(roles, role) {
		return
	}
	if !ok {
		c.refuse(RefusalReference, ref,
			fmt.Sprintf("%s of %s names pool %q, which would not exist", key, ref, pool),
			fmt.Sprintf("keep or create pool/%s, or change or delete %s in the same ticket", pool, ref))
		return
	}
	c.refuse(RefusalReference, ref,
		fmt.Sprintf("%s of %s names pool %q of role %s, but needs %s", key, ref, pool, role, alternatives(roles)),
		fmt.Sprintf("name a pool of role %s, or change pool/%s in the same ticket", alternatives(roles), pool))
}

func (c *referenceCheck) unique(seen map[string]Ref, value string, ref Ref, what string) {
	other, taken := seen[value]
	if !taken {
		seen[value] = ref
		return
	}
	c.refuse(RefusalDuplicate, ref,
		fmt.Sprintf("%s and %s have the same %s", other, ref, what),
		fmt.Sprintf("give each its own, or delete one of %s and %s in the same ticket", other, ref))
}

func (c *referenceCheck) refuse(kind RefusalKind, ref Ref, message, remedy string) {
	if c.refusal == nil {
		c.refusal = &Refusal{Kind: kind, Ticket: c.ticket, Object: ref, Message: message, Remedy: remedy}
	}
}

func alternatives(roles []PoolRole) string {
	text := string(roles[0])
	for _, r := range roles[1:] {
		text += " or " + string(r)
	}
	return text
}
