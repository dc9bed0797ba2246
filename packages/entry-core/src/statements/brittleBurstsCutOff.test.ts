/** Bursts at brittle servers of a large site whose entries do not hear of each other for a while. */
import { testBrittleBursts } from './testing/brittleBursts.js';

const bursts = { entries: 58, enginesPerDataCentre: 4, seeds: [1, 3] };

testBrittleBursts(bursts, ['cutOff']);
