// The operator: a small desired state in the words of the pages.
export const HOST = "shop.example";
export const KEYS = { kennel: "keyofkennel", owner: "keyofowner" };
export const MODEL = "sizer";

export function composeState(version, change = {}) {
  const route = (name, rest) => ({
    name,
    ...{ host: HOST, prefix: `/${name}/`, priority: 1, public: false },
    ...rest,
  });
  return {
    version,
    routes: [
      route("advice", {
        ...{ kind: "streaming", service: "sizing-llm", timeout_ms: 15_000 },
        ...{ target_latency_ms: 800, max_attempts: 2, gap_aim_ms: 300 },
        ...{ resumable: true, sticky: true },
      }),
      route("question", {
        ...{ kind: "streaming", service: "sizing-llm", timeout_ms: 12_000 },
        ...{ target_latency_ms: 800, max_attempts: 1, gap_aim_ms: 300 },
        ...{ resumable: false, sticky: true },
      }),
      route("orders", {
        ...{ kind: "non_idempotent", service: "shop-app", timeout_ms: 2_000 },
        ...{ target_latency_ms: 141, max_attempts: 1 },
      }),
      route("stock", {
        ...{ kind: "idempotent", service: "shop-app", timeout_ms: 2_000 },
        ...{ target_latency_ms: 141, max_attempts: 2 },
      }),
    ],
    services: [
      {
        ...{ name: "sizing-llm", health_path: "/healthz", max_conns: 370 },
        engine: {
          ...{ slots: 64, kv_capacity_tokens: 165_933 },
          kv_token_bytes: 18_432,
        },
      },
      { name: "shop-app", health_path: "/healthz", max_conns: 110 },
    ],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
      ...{ header_timeout_ms: 5_000, idle_timeout_ms: 10_000 },
    },
    tenants: [
      { name: "kennel", api_keys: [KEYS.kennel], isolated: false },
      { name: "owner", api_keys: [KEYS.owner], isolated: false },
    ],
    ...change,
  };
}
