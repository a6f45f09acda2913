# A requester with ordinary segments and a link of its own: on one channel it gets a short answer, then a long one, which
# it reads at the speed of its link.
# Arguments: address, port, attempt id, bytes a second (0: no limit). Prints the status, the bytes read, the bytes
# announced and the end of the long answer.
use strict;
use warnings;
use Socket qw(:DEFAULT IPPROTO_TCP);
use Time::HiRes qw(time sleep);
use constant { TCP_MAXSEG => 2, SEGMENT_BYTES => 1_448, RECEIVE_BUFFER_BYTES => 32_768, READ_BYTES => 4_096 };

my ($ip, $port, $id, $bytes_per_s) = @ARGV;
$SIG{PIPE} = 'IGNORE';
socket(my $socket, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($socket, IPPROTO_TCP, TCP_MAXSEG, pack('i', SEGMENT_BYTES)) or die "segment size: $!";
setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack('i', RECEIVE_BUFFER_BYTES)) or die "receive buffer: $!";
if (!connect($socket, sockaddr_in($port, inet_aton($ip)))) {
    print "0 0 -1 not-connected\n";
    exit;
}

sub get {
    my ($path, $attempt, $rate) = @_;
    my $request = join("\r\n", "GET $path HTTP/1.1", 'Host: a.example', "X-Attempt-Id: $attempt", 'X-Deadline-Ms: 15000',
        'Authorization: Bearer key1', '', '');
    syswrite($socket, $request) or return (0, 0, -1, 'not-sent');
    my ($head, $got, $length, $start) = ('', 0, -1, 0);
    while ($length < 0 || $got < $length) {
        my $read = sysread($socket, my $bytes, READ_BYTES);
        if (!$read) {
            my $end = defined $read ? 'closed' : "failed:$!";
            $end =~ tr/ /_/;
            return ($head =~ m{^HTTP/1.1 (\d+)} ? $1 : 0, $got, $length, $end);
        }
        $start ||= time;
        if ($length < 0) {
            $head .= $bytes;
            next if $head !~ /\r\n\r\n(.*)/s;
            $got = length $1;
            ($length) = $head =~ /content-length: *(\d+)/i;
        } else {
            $got += $read;
        }
        my $ahead = $rate ? $start + $got / $rate - time : 0;
        sleep($ahead) if $ahead > 0;
    }
    my ($status) = $head =~ m{^HTTP/1.1 (\d+)};
    return ($status, $got, $length, 'whole');
}

my @short = get('/doc/short', "0$id", 0);
my @long = $short[3] eq 'whole' ? get('/doc/long', $id, $bytes_per_s) : (0, 0, -1, "short-answer:$short[3]");
print join(' ', @long), "\n";
