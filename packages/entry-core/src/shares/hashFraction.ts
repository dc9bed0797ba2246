/** A number from 0 to 1 that is the same for a text in all processes. */
import { hashPosition } from '../backendServers/hashPosition.js';

const POSITION_COUNT = 2 ** 32;

export function hashFraction(text: string): number {
  return hashPosition(text) / POSITION_COUNT;
}
