/**
 * Receives one frame on a socket that carries other bytes afterwards. Each end of a tunnel waits for
 * the other's frame before it sends more, so that no later bytes are read with it.
 */
import { on } from 'node:events';
import type { Socket } from 'node:net';
import { FrameDecoder } from '../FrameCodec.js';

/** Frames that open a tunnel are smaller. */
const MAX_FRAME_BYTES = 4096;

export async function receiveFrame(socket: Socket): Promise<unknown> {
  const decoder = new FrameDecoder(MAX_FRAME_BYTES);
  for await (const [bytes] of on(socket, 'data', { close: ['close'] })) {
    const [message] = decoder.decode(bytes as Buffer);
    if (message !== undefined) return message;
  }
  throw new Error('the connection was closed before its tunnel was open');
}
