/**
 * Measures what it costs to tell where streams began: bytes and processor time of one origin, told to two
 * stores as it begins, and as part of a digest that reaches all entries. Prints both, and what follows
 * for several numbers of entries.
 *
 *   npm run build && node tools/measureStreamOrigins.js
 */
import { encodeFrame, encodeSharedBody, FrameDecoder } from '@hornbeampond/transport';

const ROUNDS = 20_000;
const ORIGINS_PER_DIGEST = 16;
const COPIES = 2;

/** Entries, and streams that begin in a second at all of them. */
const DEPLOYMENTS = [
  [8, 48],
  [56, 300],
  [200, 300],
];

function makeOrigin(number) {
  return {
    requestId: (0x9c41d07be2a35f68n + BigInt(number)).toString(16),
    workspace: 'hule930',
    pool: 'huvo11a',
    version: 'v1.2',
    lifetime: 17_000,
  };
}

function makeFrame(origins) {
  return encodeFrame({ type: 'request', id: 0, body: { type: 'shareStreamOrigins', origins } });
}

/** Microseconds of processor time for one call. */
function timeOf(work) {
  for (let round = 0; round < ROUNDS / 10; round += 1) work(round);
  const before = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) work(round);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / ROUNDS;
}

const frame = makeFrame([makeOrigin(1)]);
const digest = makeFrame(
  Array.from({ length: ORIGINS_PER_DIGEST }, (_, number) => makeOrigin(number)),
);
const decoder = new FrameDecoder();
const decode = (bytes) => [...decoder.decode(bytes)].length;

const frameBytes = frame.length;
const digestBytes = digest.length / ORIGINS_PER_DIGEST;
const encodeMicroseconds = timeOf((number) => makeFrame([makeOrigin(number)]));
const decodeMicroseconds = timeOf(() => decode(frame));
const digestDecodeMicroseconds = timeOf(() => decode(digest)) / ORIGINS_PER_DIGEST;
const bodyBytes = encodeSharedBody(makeOrigin(1)).length;

console.log(
  `an origin: ${bodyBytes} bytes; alone in a frame ${frameBytes}, in a digest ${digestBytes.toFixed(0)}`,
);
console.log(
  `microseconds: encode a frame ${encodeMicroseconds.toFixed(1)}, decode ${decodeMicroseconds.toFixed(1)}, decode in a digest ${digestDecodeMicroseconds.toFixed(1)}`,
);
DEPLOYMENTS.forEach(([entries, streams]) => {
  const perEntry = streams / entries;
  const toStores = perEntry * COPIES * frameBytes;
  const toAll = streams * digestBytes;
  const cpuToStores = (perEntry * COPIES * encodeMicroseconds) / 10_000;
  const cpuToAll = (streams * digestDecodeMicroseconds) / 10_000;
  console.log(
    `${entries} entries, ${streams} streams a second: two stores ${toStores.toFixed(0)} bytes a second and ${cpuToStores.toFixed(3)}% of a core an entry; all entries ${toAll.toFixed(0)} and ${cpuToAll.toFixed(3)}%`,
  );
});
