import * as v from 'valibot';

const header = v.object({revision: v.optional(v.string(), '0')});

const keyValue = v.object({
  key: v.string(),
  value: v.optional(v.string(), ''),
  mod_revision: v.optional(v.string(), '0'),
});

/** Schemas of the responses of the etcd v3 JSON gateway. */
export const etcdGatewaySchemas = {
  range: v.object({header, kvs: v.optional(v.array(keyValue), [])}),
  transaction: v.object({header, succeeded: v.optional(v.boolean(), false)}),
  leaseGrant: v.object({ID: v.string()}),
  leaseKeepAlive: v.object({
    result: v.object({TTL: v.optional(v.string(), '0')}),
  }),
  leaseRevoke: v.object({}),
  watch: v.object({
    result: v.object({
      header,
      canceled: v.optional(v.boolean(), false),
      events: v.optional(
        v.array(v.object({type: v.optional(v.string(), 'PUT'), kv: keyValue})),
        [],
      ),
    }),
  }),
};
