package io.cherryspool.mesh;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Heartbeats between the nodes, as MessagePack arrays in length-prefixed frames. Each node keeps
 * one connection to each other for its own. A heartbeat that can't go out now is dropped, since the
 * next one says more.
 */
public final class NettyMesh implements Mesh, Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(NettyMesh.class);
  private static final int MAX_FRAME = 4096;
  private static final int FIELDS = 6;

  /** With the memory's, which earlier versions do not send. */
  private static final int MEMORY_FIELDS = 12;

  /** With the links'. */
  private static final int ALL_FIELDS = 13;

  private static final int CONNECT_MS = 1000;
  private static final int QUIET_S = 30;
  private static final int MAX_UNSENT = 16 * 1024;

  private final NettyEventLoop loop;
  private final List<Endpoint> peers;
  private final Consumer<PeerHeartbeat> sink;
  private final Map<Endpoint, Channel> links = new HashMap<>();
  private Channel listener;
  private boolean stopped;

  public NettyMesh(NettyEventLoop loop, List<Endpoint> peers, Consumer<PeerHeartbeat> sink) {
    this.loop = loop;
    this.peers = peers;
    this.sink = sink;
  }

  /** Binds, waiting for the outcome; called once, from outside the loop. */
  public void bind(Endpoint at) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop.group())
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new ReadTimeoutHandler(QUIET_S))
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, 4, 0, 4))
                        .addLast(new Inbound());
                  }
                })
            .bind(new InetSocketAddress(at.host(), at.port()))
            .sync()
            .channel();
  }

  @Override
  public void start() {
    stopped = false;
  }

  @Override
  public void stop() {
    stopped = true;
    // Closing a channel takes it out of the map.
    List.copyOf(links.values()).forEach(Channel::close);
    links.clear();
    if (listener != null) {
      listener.close();
    }
  }

  @Override
  public void broadcast(PeerHeartbeat heartbeat) {
    if (stopped) {
      return;
    }
    byte[] frame = encode(heartbeat);
    for (Endpoint peer : peers) {
      Channel link = links.get(peer);
      if (link == null) {
        connect(peer);
      } else if (link.isActive()) {
        if (link.unsafe().outboundBuffer() != null
            && link.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT) {
          link.close();
        } else {
          link.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }
      }
    }
  }

  private void connect(Endpoint peer) {
    Channel channel =
        new Bootstrap()
            .group(loop.group())
            .channelFactory(NioSocketChannel::new)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel created) {
                    created.pipeline().addLast(new LengthFieldPrepender(4));
                  }
                })
            .connect(new InetSocketAddress(peer.host(), peer.port()))
            .channel();
    links.put(peer, channel);
    channel.closeFuture().addListener(closed -> links.remove(peer, channel));
  }

  static byte[] encode(PeerHeartbeat heartbeat) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(ALL_FIELDS);
      packer.packString(heartbeat.node());
      packer.packLong(heartbeat.term());
      packer.packBoolean(heartbeat.isStateStoreReachable());
      packer.packInt(heartbeat.stateReadAgeMillis());
      packer.packInt(heartbeat.redirectedWorkers());
      packer.packInt(heartbeat.writeRateTenths());
      packer.packInt(heartbeat.retainedRecords().recoveryPhase());
      packer.packLong(heartbeat.retainedRecords().incarnation());
      packer.packString(heartbeat.retainedRecords().nonce());
      packer.packLong(heartbeat.retainedRecords().revision());
      packer.packBoolean(heartbeat.retainedRecords().wasLeader());
      packer.packLong(heartbeat.retainedRecords().contributedRebuild());
      LinkSummaryCodec.pack(packer, heartbeat.links());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory", e);
    }
  }

  /** Reads a heartbeat; fields that a later version adds are ignored. */
  static PeerHeartbeat decode(byte[] frame) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      int fields = unpacker.unpackArrayHeader();
      if (fields < FIELDS) {
        throw new IOException("a heartbeat that is too short");
      }
      return new PeerHeartbeat(
          unpacker.unpackString(),
          unpacker.unpackLong(),
          unpacker.unpackBoolean(),
          unpacker.unpackInt(),
          unpacker.unpackInt(),
          unpacker.unpackInt(),
          fields < MEMORY_FIELDS ? RetainedRecordsSummary.NONE : decodeMemory(unpacker),
          fields < ALL_FIELDS ? LinkSummary.NONE : LinkSummaryCodec.unpack(unpacker));
    }
  }

  private static RetainedRecordsSummary decodeMemory(MessageUnpacker unpacker) throws IOException {
    return new RetainedRecordsSummary(
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackString(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong());
  }

  /** The routine of one connection from another node. */
  private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
      sink.accept(decode(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("a node's connection is dropped: {}", cause.toString());
      ctx.close();
    }
  }
}
