package config

import (
	"fmt"
	"slices"
)

// referenceChecker looks for objects that are inconsistent with each other. It keeps
// the first inconsistency in a fixed order of kinds and names, so that the same
// ticket always gets the same refusal.
type referenceChecker struct {
	ticket    uint64
	poolRoles map[string]PoolRole
	refusal   *Refusal
}

// checkReferences checks all objects of the configuration that results from t.
func (c *Configuration) checkReferences(t *Ticket) *Refusal {
	decoded, err := DecodeObjects(c.Objects())
	if err != nil {
		return &Refusal{Kind: RefusalBrokenReference, Ticket: t.Number, Object: t.Objects[0].Ref,
			Message: err.Error(), Remedy: "use the version of fescueslip that wrote the stored configuration"}
	}
	checker := referenceChecker{ticket: t.Number, poolRoles: make(map[string]PoolRole, len(decoded.Pools))}
	for _, p := range decoded.Pools {
		checker.poolRoles[p.Name] = p.Role
	}
	for _, u := range decoded.Upstreams {
		checker.checkUpstream(u)
	}
	for _, m := range decoded.Models {
		checker.checkPool(Ref{KindModel, m.Name}, "prefill_pool", m.PrefillPool, RolePrefill)
		checker.checkPool(Ref{KindModel, m.Name}, "decode_pool", m.DecodePool, RoleDecode)
	}
	prefixes := make(map[string]Ref, len(decoded.Routes))
	for _, r := range decoded.Routes {
		ref := Ref{KindRoute, r.Name}
		checker.checkPool(ref, "pool", r.Pool, RoleService)
		checker.checkUnique(prefixes, r.Prefix, ref, "prefix "+r.Prefix)
	}
	keys := make(map[string]Ref, len(decoded.Callers))
	for _, caller := range decoded.Callers {
		checker.checkUnique(keys, caller.KeySHA256, Ref{KindCaller, caller.Name}, "key_sha256")
	}
	return checker.refusal
}

func (c *referenceChecker) checkUpstream(u *Upstream) {
	ref := Ref{KindUpstream, u.Name}
	if u.Kind == UpstreamService {
		c.checkPool(ref, "pool", u.Pool, RoleService)
		return
	}
	c.checkPool(ref, "pool", u.Pool, RolePrefill, RoleDecode)
}

// checkPool checks that the pool that ref names under key exists and has one of the
// roles.
func (c *referenceChecker) checkPool(ref Ref, key, pool string, roles ...PoolRole) {
	role, ok := c.poolRoles[pool]
	if ok && slices.Contains(roles, role) {
		return
	}
	if !ok {
		c.refuse(RefusalBrokenReference, ref,
			fmt.Sprintf("%s of %s names pool %q, which would not exist", key, ref, pool),
			fmt.Sprintf("keep or create pool/%s, or change or delete %s in the same ticket", pool, ref))
		return
	}
	c.refuse(RefusalBrokenReference, ref,
		fmt.Sprintf("%s of %s names pool %q of role %s, but needs %s", key, ref, pool, role, joinRoles(roles)),
		fmt.Sprintf("name a pool of role %s, or change pool/%s in the same ticket", joinRoles(roles), pool))
}

// checkUnique checks that no other object has the same value. seen maps each value to
// the first object that has it.
func (c *referenceChecker) checkUnique(seen map[string]Ref, value string, ref Ref, label string) {
	other, taken := seen[value]
	if !taken {
		seen[value] = ref
		return
	}
	c.refuse(RefusalDuplicate, ref,
		fmt.Sprintf("%s and %s have the same %s", other, ref, label),
		fmt.Sprintf("give each its own, or delete one of %s and %s in the same ticket", other, ref))
}

func (c *referenceChecker) refuse(kind RefusalKind, ref Ref, message, remedy string) {
	if c.refusal == nil {
		c.refusal = &Refusal{Kind: kind, Ticket: c.ticket, Object: ref, Message: message, Remedy: remedy}
	}
}

func joinRoles(roles []PoolRole) string {
	text := string(roles[0])
	for _, r := range roles[1:] {
		text += " or " + string(r)
	}
	return text
}
