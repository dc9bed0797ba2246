/**
 * Finds ports for processes that must know each other's addresses before they start. They are
 * taken from below the range that the system gives to outgoing connections, so that none of those
 * can take one meanwhile.
 */
import { createServer } from 'node:net';

const FIRST_PORT = 15_000;
const PORT_COUNT = 15_000;

let next = (process.pid * 97) % PORT_COUNT;

async function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export async function findFreePort(): Promise<number> {
  for (let tried = 0; tried < PORT_COUNT; tried += 1) {
    next = (next + 1) % PORT_COUNT;
    const port = FIRST_PORT + next;
    if (await isFree(port)) return port;
  }
  throw new Error('no port is free');
}
