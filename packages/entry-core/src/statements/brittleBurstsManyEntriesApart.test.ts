/** Bursts at brittle servers of a large site with more entries that hear of each other very late or not at all. */
import { testBrittleBursts } from './testing/brittleBursts.js';

const bursts = { entries: 64, enginesPerDataCentre: 4, seeds: [3] };

testBrittleBursts(bursts, ['inTransit', 'cutOff']);
