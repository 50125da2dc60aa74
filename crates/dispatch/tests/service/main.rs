//! Replays of one service under overload and uneven load.

mod locality;
mod overload;
mod replay;
