/** A client that sends one stream request and keeps the events that it gets. */
import { request as sendRequest } from 'node:http';
import { randomBytes } from 'node:crypto';
import { ports } from './Deployment.mjs';

export const KEY = 'n2ctnfzs989anu6wsjnb';

export const ROUTE_HOST = 'ficu95.example';

let sent = 0;

export function nextId() {
  sent += 1;
  return `${randomBytes(4).toString('hex')}${String(sent).padStart(8, '0')}`;
}

/** One attempt; `left` tells the client to close its connection. */
export function openStream(deployment, { host, path, tokens, deadline, headers = {}, left }) {
  const id = nextId();
  const stream = { id, events: [], status: undefined, isWhole: false, error: undefined };
  const body = JSON.stringify({ prompt: id });
  deployment.record('sent', { request: id, path, tokens });
  stream.ended = new Promise((resolve) => {
    let text = '';
    const finish = () => {
      deployment.record('answered', {
        request: id,
        status: stream.status,
        events: stream.events.length,
        isWhole: stream.isWhole,
        error: stream.error,
      });
      resolve(stream);
    };
    const outgoing = sendRequest(
      {
        host,
        port: ports.front,
        method: 'POST',
        path: `${path}${id.slice(0, 2)}`,
        agent: false,
        signal: left === undefined ? undefined : left,
        headers: {
          host: ROUTE_HOST,
          'x-attempt-id': id,
          authorization: `Bearer ${KEY}`,
          'x-model': 'm',
          'x-token-usage': tokens,
          'x-prompt-prefix': `5c1e07a2:800,${id.slice(0, 8)}:${Number(tokens.split(',')[0]) - 800}`,
          'x-deadline-ms': String(deadline),
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          ...headers,
        },
      },
      (answer) => {
        stream.status = answer.statusCode;
        answer.on('data', (chunk) => {
          text += chunk.toString();
          const parts = text.split('\n\n');
          text = parts.pop();
          parts.forEach((part) => {
            const event = /^id: (\d+)\ndata: (.*)$/.exec(part);
            if (event !== null) stream.events.push({ number: Number(event[1]), data: event[2] });
          });
        });
        answer.on('end', () => {
          stream.isWhole = answer.complete && stream.status === 200;
        });
        answer.on('error', (error) => {
          stream.error = String(error.code ?? error);
        });
        answer.on('close', finish);
      },
    );
    outgoing.on('error', (error) => {
      stream.error = String(error.code ?? error);
      if (stream.status === undefined) finish();
    });
    outgoing.end(body);
  });
  return stream;
}

export function streamRoute({ name, prefix, service, isResumable, attempts = 2 }) {
  return {
    name,
    host: ROUTE_HOST,
    path_prefix: prefix,
    type: 'stream',
    timeout_ms: 15_000,
    target_latency_ms: 1200,
    priority: 1,
    service,
    max_attempts: attempts,
    public: false,
    sticky: true,
    resumable: isResumable,
    gap_aim_ms: 500,
  };
}

export const engineService = (name) => ({
  name,
  health_path: '/healthz',
  max_connections: 370,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 64,
    kv_capacity: 567_921,
    kv_bytes: 163_840,
    link_mbps: 260_000,
    moves: true,
    backups: true,
    stride: 5,
    most: 12,
    pin_ms: 4000,
    hold_ms: 2000,
    handle_s: 5,
    models: [{ name: 'm' }],
  },
});

export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

export const tenant = {
  name: 'hule930',
  api_keys: [KEY],
  priority: 1,
  unit: 'tokens',
  plain_tokens: 200,
  rate_per_s: 102_366,
  burst: 102_366,
};
