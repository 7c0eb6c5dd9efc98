/** A configuration of the operator, with the figures of a small site. */
export const HOST = 'pule25.example';

export const KEY = '9dnn2ctnfzs989anu6ws';

const route = {
  host: HOST,
  timeout_ms: 6000,
  target_latency_ms: 1300,
  priority: 0,
  attempts: 1,
  public: false,
  sticky: false,
  resumable: false,
};

/** A model worker's service and its route, of which a test replaces what it needs. */
export function streamingRoute(overrides = {}) {
  return {
    ...route,
    name: 'summary',
    prefix: '/summary/',
    kind: 'streaming',
    service: 'pool',
    sticky: true,
    max_gap_ms: 150,
    ...overrides,
  };
}

export const unsafeRoute = {
  ...route,
  name: 'confirm',
  prefix: '/confirm/',
  kind: 'unsafe',
  service: 'desk',
  timeout_ms: 1500,
  target_latency_ms: 100,
  priority: 2,
};

export const safeRoute = {
  ...unsafeRoute,
  name: 'lookup',
  prefix: '/lookup/',
  kind: 'safe',
  attempts: 2,
};

export function stageService(name, { batch, itemMs, roomMb }) {
  return {
    name,
    health_path: '/health',
    max_conns: 310,
    protocol: 'h1',
    tls: false,
    pieces: {
      slots: 1,
      queue: 2,
      batch,
      call_ms: 150,
      item_ms: itemMs,
      headroom_mb: roomMb,
      handle_s: 4,
      link_mbps: 10_000,
    },
  };
}

export function configuration({
  version = 1,
  routes = [streamingRoute(), unsafeRoute, safeRoute],
  services = [],
} = {}) {
  return {
    version,
    routes,
    services: [
      {
        name: 'pool',
        health_path: '/health',
        max_conns: 310,
        protocol: 'h1',
        tls: false,
        engine: { slots: 48, kv_tokens: 583_197, handle_s: 5, models: [{ name: 'm' }] },
      },
      { name: 'desk', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false },
      ...services,
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'bozi300', api_keys: [KEY], priority: 1 }],
  };
}
